/* The task "engine": HTTP client of the back ends. It carries out attempts, polls the reports of
 * engine members and sends orders to them. All decisions are made by other tasks. */
#ifndef CS_ENGINE_H
#define CS_ENGINE_H

#include "cs/kernel.h"

/* Registers itself in a constructor. A program that does not link the whole archive must refer to
 * this symbol, so that the linker includes the object file. */
extern cs_plugin_t cs_engine_plugin;

#endif
