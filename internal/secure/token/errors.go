package token

// Reason says why a token was refused, for counters and logs.
type Reason string

// Error is a refused token. Its text is the same for every reason: a caller
// that could tell a forged token from another account's genuine one would
// learn that the other account's chat exists.
type Error struct {
	reason Reason
}

// The reasons for refusing a token. Compare with errors.Is.
var (
	// ErrMalformed is text that is no token of the expected kind and version.
	ErrMalformed = &Error{reason: "malformed"}
	// ErrForged is a token whose signature none of the valid keys made.
	ErrForged = &Error{reason: "forged"}
	// ErrWrongAccount is a genuine token of another account.
	ErrWrongAccount = &Error{reason: "wrong_account"}
	// ErrExpired is a genuine token whose lifetime is over.
	ErrExpired = &Error{reason: "expired"}
)

// Error implements error. The text does not depend on the reason.
func (e *Error) Error() string { return "token: not valid" }

// Reason returns the reason. It must not reach a caller.
func (e *Error) Reason() Reason { return e.reason }
