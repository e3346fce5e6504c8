/* Plug-in that exports ended spans to a collector, as OTLP over HTTP in JSON (see docs/SETTINGS.md,
 * [trace]). */
#ifndef CS_TRACING_H
#define CS_TRACING_H

#include "cs/kernel.h"

extern cs_plugin_t cs_tracing_plugin;

#endif
