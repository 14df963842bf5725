package executor

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventFenced = logger.Define(1001, "OwnerFenced", log.WarnLevel,
		"another instance has taken over; all shards are dropped",
		"Look for a pause or a cut of this instance from the store; it takes a new lease by itself.")
	eventShardRevoked = logger.Define(1002, "ShardCut", log.WarnLevel,
		"a shard was given up with work in flight",
		"Raise DrainTimeout if turns or calls take longer than that.")
	eventAttemptFailed = logger.Define(1003, "AttemptFailed", log.WarnLevel,
		"a generation failed at an engine",
		"Look at the engine if the same endpoint shows again and again.")
	eventEscrowNotReturned = logger.Define(1005, "EscrowKept", log.WarnLevel,
		"unspent tokens of a business's budget could not be given back; they count as spent",
		"Raise the business's budget by the tokens if it runs short.")
	eventCallFailed = logger.Define(1004, "CallFailed", log.WarnLevel,
		"a call got no whole answer from a service",
		"List calls with an unknown outcome and resolve them after asking the service's team.")
)
