import { z } from 'zod';
import { maxRisingNumber } from '../common/maxRisingNumber';
import { toId } from '../common/toId';
import type { CustomerName } from '../customers/CustomerName';
import type { KeyDigest } from '../customers/KeyDigest';
import { queueSchema } from '../jobs/queueSchema';
import type { QueueConfiguration } from './QueueConfiguration';

const amount = z.number().min(0);

const customerSchema = z.object({
  name: z.string().transform((text) => toId<CustomerName>(text)),
  keys: z.array(z.string().transform((text) => toId<KeyDigest>(text))),
  weight: amount,
  limit: z.object({ cpuMillis: amount, memoryMb: amount, accelerators: amount }),
});

const routeSchema = z.object({
  host: z.string(),
  pathPrefix: z.string(),
  queue: queueSchema,
  isOpen: z.boolean(),
});

/** Schema of the configuration as sent between boxes. It contains digests of keys, not the keys. */
export const configurationSchema: z.ZodType<QueueConfiguration> = z.object({
  version: z.number().max(maxRisingNumber),
  routes: z.array(routeSchema),
  customers: z.array(customerSchema),
  maxBodyBytes: z.number(),
});
