package route

// Size classifies prompts by length. Engines run smaller prompts first, so only
// work of the same and smaller sizes delays a request.
type Size uint8

// Sizes of prompts. The longest prompt of each size is sizeStep times as long as that
// of the size before; SizeHuge has no bound.
const (
	SizeShort Size = iota
	SizeMedium
	SizeLong
	SizeHuge
	// Sizes is the number of sizes.
	Sizes = 4
)

// sizeStep is the ratio of the longest prompts of two successive sizes.
const sizeStep = 8

// SizeOf returns the size of a prompt. shortTokens is the longest prompt that
// counts as short.
func SizeOf(tokens, shortTokens int) Size {
	size := SizeShort
	for limit := shortTokens; tokens > limit && size < SizeHuge; limit *= sizeStep {
		size++
	}
	return size
}

// IsShort reports whether the prompt counts as short.
func (d *Demand) IsShort() bool { return d.Size == SizeShort }
