package forwarder

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var eventUnanswered = logger.Define(3400, "PeerUnanswered", log.WarnLevel,
	"no reply to a command sent to another instance",
	"Check the instance named in the cause and the network between the two instances.")
