package answer

import "testing"

func TestCheckerAcceptsAnswerInPieces(t *testing.T) {
	text := Text(HashOf("hello"), 12)
	c := NewChecker(HashOf("hello"))
	for i := 0; i < len(text); i += 5 {
		if err := c.Add(text[i:min(i+5, len(text))]); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Close(12); err != nil {
		t.Fatal(err)
	}
}

func TestCheckerRejectsWrongAnswers(t *testing.T) {
	prompt := HashOf("hello")
	for name, text := range map[string]string{
		"gap":          Token(prompt, 1) + Token(prompt, 3),
		"duplicate":    Token(prompt, 1) + Token(prompt, 1),
		"other prompt": Token(HashOf("other"), 1),
		"short":        Token(prompt, 1),
		"half a token": Token(prompt, 1) + "w2",
	} {
		c := NewChecker(prompt)
		if c.Add(text) == nil && c.Close(2) == nil {
			t.Errorf("%s: accepted %q", name, text)
		}
	}
}
