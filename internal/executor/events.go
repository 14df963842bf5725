package executor

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventFenced = logger.Define(1001, "OwnerFenced", log.WarnLevel,
		"the lease has been taken over by another instance; all shards have been dropped",
		"Check whether this instance was paused or lost its connection to the store; it acquires a new lease without intervention.")
	eventShardRevoked = logger.Define(1002, "ShardCut", log.WarnLevel,
		"a shard was released before its work in flight completed",
		"Raise DrainTimeout if turns or calls take longer than that.")
	eventAttemptFailed = logger.Define(1003, "AttemptFailed", log.WarnLevel,
		"a generation request to an engine failed",
		"Check the engine if the same endpoint fails repeatedly.")
	eventEscrowNotReturned = logger.Define(1005, "EscrowKept", log.WarnLevel,
		"unspent tokens of a business's budget could not be returned; they count as spent",
		"Raise the business's budget by the tokens if it runs short.")
	eventCallFailed = logger.Define(1004, "CallFailed", log.WarnLevel,
		"a call to a service got no complete response",
		"List the calls with an unknown outcome, and resolve them after checking with the service's team.")
)
