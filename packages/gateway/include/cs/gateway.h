/* The task "gateway": HTTP server for callers and operators. It validates requests, sends
 * them to the task "control", which decides how to handle each one, and writes the answers. */
#ifndef CS_GATEWAY_H
#define CS_GATEWAY_H

#include "cs/kernel.h"

/* Registers itself at program start; a program refers to it to have it linked. */
extern cs_plugin_t cs_gateway_plugin;

/* Returns the TCP port that the task listens on; valid after its init. */
uint16_t cs_gateway_port (const cs_task_t *task);

#endif
