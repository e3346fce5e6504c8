#include "cs/stream_start.h"

cs_stream_start_t
cs_stream_start (bool has_begun, size_t n)
{
	if (has_begun)
		return CS_STREAM_SEND;
	return n > CS_STREAM_START_BYTES ? CS_STREAM_REJECT : CS_STREAM_HOLD;
}
