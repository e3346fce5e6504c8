/* Packing and copying of protobuf messages, and comparison of integers. */
#include <stdlib.h>

#include "log_internal.h"

void
cs_pack (const ProtobufCMessage *message, cs_buf_t *out)
{
	size_t n = protobuf_c_message_get_packed_size (message);
	cs_buf_reserve (out, n);
	protobuf_c_message_pack (message, (uint8_t *)out->p + out->n);
	out->n += n;
	out->p[out->n] = 0;
}

void *
cs_clone (const ProtobufCMessage *message)
{
	cs_buf_t bytes;
	cs_buf_init (&bytes);
	cs_pack (message, &bytes);
	void *copy = protobuf_c_message_unpack (message->descriptor, NULL, bytes.n,
						(const uint8_t *)bytes.p);
	cs_buf_finish (&bytes);
	return copy;
}

int
cs_u64_cmp (const void *a, const void *b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;
	return (x > y) - (x < y);
}
