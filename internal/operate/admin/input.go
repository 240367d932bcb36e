package admin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"damaskrouter.example/damaskrouter/internal/operate/admin/api"
	"damaskrouter.example/damaskrouter/internal/serve/apierr"
	"damaskrouter.example/damaskrouter/internal/serve/httperr"
	"damaskrouter.example/damaskrouter/internal/store/config"
	"github.com/labstack/echo/v4"
)

const (
	// maxBundleBody bounds a body with a bundle, in bytes.
	maxBundleBody = config.MaxEncodedBytes
	// maxBody bounds any other body, in bytes.
	maxBody = 64 << 10
	// maxComment bounds the comment on a change, in bytes.
	maxComment = 4 << 10
)

const bearerPrefix = "Bearer "

func bearerToken(r *http.Request) string {
	token, ok := strings.CutPrefix(r.Header.Get(echo.HeaderAuthorization), bearerPrefix)
	if !ok {
		return ""
	}
	return token
}

// decodeBody decodes a JSON body of at most limit bytes. It rejects unknown
// fields: a misspelt field would otherwise be ignored and the request would
// succeed.
func decodeBody(c *requestContext, limit int64, into any) error {
	body := http.MaxBytesReader(c.Response(), c.Request().Body, limit)
	d := json.NewDecoder(body)
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if err == nil {
		err = rejectTrailingData(d)
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return httperr.TooLarge()
	case err != nil:
		return httperr.BadRequest("malformed body: " + err.Error())
	}
	return nil
}

// rejectTrailingData rejects a second JSON value in the body.
func rejectTrailingData(d *json.Decoder) error {
	_, err := d.Token()
	if err == io.EOF {
		return nil
	}
	if err == nil {
		return httperr.BadRequest("more than one JSON value")
	}
	return err
}

// ifMatchVersion returns the version on which a change is based. There is no
// default: a change without a base version could overwrite changes that were made
// in between.
func ifMatchVersion(c *requestContext) (uint64, error) {
	text := c.Request().Header.Get("If-Match")
	if text == "" {
		return 0, apierr.New(apierr.CodeBadRequest, http.StatusPreconditionRequired,
			"If-Match must name the version that the change was made from")
	}
	version, err := parseVersion(strings.Trim(text, `"`))
	if err != nil {
		return 0, httperr.BadRequest("If-Match is not a version")
	}
	return version, nil
}

// etag returns the entity tag of a version.
func etag(version uint64) string { return strconv.Quote(strconv.FormatUint(version, 10)) }

func parseVersion(text string) (uint64, error) {
	version, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		return 0, httperr.BadRequest("not a version: " + strconv.Quote(text))
	}
	return version, nil
}

// pageLimit returns the requested maximum number of items of a page.
func pageLimit(c *requestContext) (int, error) {
	text := c.QueryParam(api.ParamLimit)
	if text == "" {
		return api.DefaultLimit, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 || limit > api.MaxLimit {
		return 0, httperr.BadRequest("limit is from 1 to " + strconv.Itoa(api.MaxLimit))
	}
	return limit, nil
}

// checkParams rejects unknown and repeated query parameters. A misspelt filter
// would otherwise be ignored and the response would contain too much.
func checkParams(c *requestContext, known ...string) error {
	for name, values := range c.QueryParams() {
		if !slices.Contains(known, name) {
			return httperr.BadRequest("unknown parameter " + strconv.Quote(name))
		}
		if len(values) > 1 {
			return httperr.BadRequest("parameter " + strconv.Quote(name) + " is given twice")
		}
	}
	return nil
}
