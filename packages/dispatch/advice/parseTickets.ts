import { z } from 'zod';
import { toId } from '../../common/toId';
import type { EndpointId } from '../../jobs/EndpointId';

const adviceResponseSchema = z.object({
  good: z.array(z.tuple([z.string(), z.string()])).default([]),
});

/** Returns the ticket of each allowed endpoint in a response of the advice service; undefined when it is malformed or undefined. */
export const parseTickets = (response: unknown): ReadonlyMap<EndpointId, string> | undefined => {
  const rows = adviceResponseSchema.safeParse(response).data?.good;
  return rows && new Map(rows.map(([id, ticket]) => [toId<EndpointId>(id), ticket]));
};
