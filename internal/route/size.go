package route

// Size is a coarse size of a prompt. Engines run smaller prompts first, so only
// work of the same or a smaller size delays a request.
type Size uint8

// Sizes of prompts. Each after SizeShort is sizeStep times longer than the one
// before.
const (
	SizeShort Size = iota
	SizeMedium
	SizeLong
	SizeHuge
	// Sizes is the number of sizes.
	Sizes = 4
)

// sizeStep is the ratio of the longest prompts of two sizes.
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

// IsShort states whether the prompt counts as short.
func (d *Demand) IsShort() bool { return d.Size == SizeShort }
