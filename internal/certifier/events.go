package certifier

import (
	"github.com/charmbracelet/log"

	"github.com/wigeonstand/wigeonstand/internal/logger"
)

var (
	eventReloaded = logger.Define(4100, "CertificateReloaded", log.InfoLevel,
		"changed certificate files were reloaded",
		"None.")
	eventReloadFailed = logger.Define(4101, "CertificateReloadFailed", log.ErrorLevel,
		"changed certificate files could not be loaded; the certificates loaded before stay in use",
		"Check that the certificate matches the key and that both files are complete.")
	eventExpiresSoon = logger.Define(4102, "CertificateExpiresSoon", log.WarnLevel,
		"a certificate expires soon",
		"Replace the certificate files; no restart is needed.")
)
