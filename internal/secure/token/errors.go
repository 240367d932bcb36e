package token

// Reason is the reason for rejecting a token, for metrics and logs.
type Reason string

// Error reports a rejected token. Its text is the same for every reason:
// otherwise a caller could distinguish a forged token from a valid token of
// another account, and so detect that the other account's chat exists.
type Error struct {
	reason Reason
}

// The errors for rejected tokens. Compare with errors.Is.
var (
	// ErrMalformed reports a text that is not a token of the expected kind and
	// version.
	ErrMalformed = &Error{reason: "malformed"}
	// ErrForged reports a token whose signature matches none of the valid keys.
	ErrForged = &Error{reason: "forged"}
	// ErrWrongAccount reports a valid token of another account.
	ErrWrongAccount = &Error{reason: "wrong_account"}
	// ErrExpired reports an authentic token whose lifetime has ended.
	ErrExpired = &Error{reason: "expired"}
)

// Error implements error.
func (e *Error) Error() string { return "token: not valid" }

// Reason returns the reason for the rejection. It must not be sent to a caller.
func (e *Error) Reason() Reason { return e.reason }
