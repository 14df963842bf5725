package answerer

import (
	"net/http"
	"time"
)

var table = []Response{
	{BadRequest, http.StatusBadRequest, NotRun, false, 0, "The request is malformed."},
	{TooLarge, http.StatusRequestEntityTooLarge, NotRun, false, 0, "The request is larger than the limit."},
	{Unauthenticated, http.StatusUnauthorized, NotRun, false, 0, "The key is missing or unknown."},
	{Forbidden, http.StatusForbidden, NotRun, false, 0, "The key does not permit this."},
	{NotFound, http.StatusNotFound, NotRun, false, 0, "The resource does not exist."},
	{ProgramEnded, http.StatusGone, NotRun, false, 0, "The program has ended."},
	{TurnConflict, http.StatusConflict, NotRun, false, 0, "The turn was already taken with another input."},
	{TurnGap, http.StatusConflict, NotRun, false, 0, "An earlier turn is missing."},
	{KeyReused, http.StatusConflict, NotRun, false, 0, "The key was used for another request."},
	{HistoryDiverged, http.StatusConflict, NotRun, false, 0, "The caller's history differs from the recorded one."},
	{RevisionConflict, http.StatusConflict, NotRun, false, 0, "The section was changed by another edit."},
	{DocumentInvalid, http.StatusUnprocessableEntity, NotRun, false, 0, "The document has errors."},
	{BudgetExhausted, http.StatusPaymentRequired, NotRun, false, 0, "The budget does not cover the request."},
	{LimitReached, http.StatusForbidden, NotRun, false, 0, "The program reached a limit and was ended."},
	{QuotaReached, http.StatusTooManyRequests, NotRun, true, time.Second, "The account has used up its quota of requests."},
	{QuotaUnknown, http.StatusServiceUnavailable, NotRun, true, time.Second, "The instances that keep the account's quota are not reachable."},
	{Overloaded, http.StatusTooManyRequests, NotRun, true, 2 * time.Second, "The queue is full."},
	{Infeasible, http.StatusTooManyRequests, NotRun, true, 2 * time.Second, "The deadline cannot be met."},
	{NoEndpoint, http.StatusServiceUnavailable, NotRun, true, 2 * time.Second, "No endpoint can take the request."},
	{Quarantined, http.StatusServiceUnavailable, NotRun, true, time.Minute, "Endpoints crashed while they ran this request; it is not sent to others for a time."},
	{OwnerUnavailable, http.StatusServiceUnavailable, NotRun, true, time.Second, "The program's owner is not reachable."},
	{Moved, http.StatusServiceUnavailable, NotRun, true, time.Second, "The program is moving to another instance."},
	{StoreUnavailable, http.StatusServiceUnavailable, NotRun, true, 5 * time.Second, "The platform's store is not reachable."},
	{BacklogFull, http.StatusServiceUnavailable, NotRun, true, 5 * time.Second, "Too many records are waiting to be made durable."},
	{Stopping, http.StatusServiceUnavailable, NotRun, true, time.Second, "The instance is stopping."},
	{DeadlineNotRun, http.StatusGatewayTimeout, NotRun, true, time.Second, "The deadline passed before the request was run."},
	{DeadlineRan, http.StatusGatewayTimeout, RanAndFailed, true, time.Second, "The deadline passed while the request ran."},
	{Canceled, 499, RanAndFailed, true, time.Second, "The caller canceled the request."},
	{Interrupted, http.StatusGone, RanAndFailed, false, 0, "The program was ended while the request ran."},
	{EndpointFailed, http.StatusBadGateway, RanAndFailed, true, time.Second, "The endpoint failed while running the request."},
	{AnswerTruncated, http.StatusBadGateway, RanAndFailed, true, time.Second, "The endpoint's response was truncated."},
	{OutcomeUnknown, http.StatusBadGateway, Unknown, true, 5 * time.Second, "The request may have run; ask for its outcome by its key."},
	{NotDurable, http.StatusServiceUnavailable, Unknown, true, 5 * time.Second, "The result could not be confirmed as durable."},
	{Internal, http.StatusInternalServerError, Unknown, false, 0, "An internal error occurred."},
}

// Lookup returns the response of the kind, or that of Internal for an unknown kind.
func Lookup(kind Kind) Response {
	for _, a := range table {
		if a.Kind == kind {
			return a
		}
	}
	return table[len(table)-1]
}

// Table returns the responses of all kinds.
func Table() []Response {
	rows := make([]Response, len(table))
	copy(rows, table)
	return rows
}
