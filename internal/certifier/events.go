package certifier

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventReloaded = logger.Define(4100, "CertificateReloaded", log.InfoLevel,
		"changed certificate files were taken into use",
		"None.")
	eventReloadFailed = logger.Define(4101, "CertificateReloadFailed", log.ErrorLevel,
		"changed certificate files could not be loaded; those in use stay in use",
		"Check that the certificate belongs to the key and that both files are complete.")
	eventExpiresSoon = logger.Define(4102, "CertificateExpiresSoon", log.WarnLevel,
		"a certificate ends soon",
		"Replace the certificate's files; no restart is needed.")
)
