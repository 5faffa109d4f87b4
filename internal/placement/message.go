package placement

// Adoption is a job with its place, as told to a new home.
type Adoption struct {
	_        struct{} `cbor:",toarray"`
	Job      Job
	Decision Decision
}
