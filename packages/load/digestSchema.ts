import { z } from 'zod';
import { toId } from '../common/toId';
import type { CustomerName } from '../customers/CustomerName';

/** Maximum number of queues or customers in a valid digest. */
const MAX_DIGEST_ROWS = 100;
const MAX_NAME_LENGTH = 256;

const amountSchema = z.number().nonnegative().finite();
const countSchema = amountSchema.int();
const nameSchema = z.string().min(1).max(MAX_NAME_LENGTH);

/** Rows of queues and customers: tuples, in the order that `formatDigest` writes. */
const queueRowSchema = z.tuple([nameSchema, countSchema, amountSchema, amountSchema, amountSchema]);
const customerRowSchema = z.tuple([nameSchema, countSchema, amountSchema, amountSchema]);

/** Schema of the log record of a digest. */
export const digestSchema = z.object({
  epoch: countSchema,
  sequence: countSchema,
  madeAtMs: amountSchema,
  capacityCpuMillis: amountSchema,
  // Negative while endpoints are overcommitted after their capacity has shrunk.
  freeCpuMillis: z.number().finite(),
  queues: z
    .array(
      queueRowSchema.transform(
        ([queue, waitingTasks, waitingCpuMillis, runningCpuMillis, expectedWaitMs]) => {
          return { queue, waitingTasks, waitingCpuMillis, runningCpuMillis, expectedWaitMs };
        },
      ),
    )
    .max(MAX_DIGEST_ROWS),
  customers: z
    .array(
      customerRowSchema.transform(([customer, waitingTasks, dominantShare, fairShare]) => {
        return { customer: toId<CustomerName>(customer), waitingTasks, dominantShare, fairShare };
      }),
    )
    .max(MAX_DIGEST_ROWS),
});
