import { z } from 'zod';
import { toId } from '../common/toId';
import type { CustomerName } from '../customers/CustomerName';

/** Far more than a leader publishes. */
const MAX_ROWS = 100;
const MAX_NAME_LENGTH = 256;

const amount = z.number().nonnegative().finite();
const count = amount.int();
const name = z.string().min(1).max(MAX_NAME_LENGTH);

/** Rows are tuples, which keeps the digests small. */
const queueRow = z.tuple([name, count, amount, amount, amount]);
const customerRow = z.tuple([name, count, amount, amount]);

/** Schema of the log record of a digest. */
export const digestSchema = z.object({
  epoch: count,
  sequence: count,
  madeAtMs: amount,
  capacityCpuMillis: amount,
  // Negative while endpoints are overcommitted after their capacity has shrunk.
  freeCpuMillis: z.number().finite(),
  queues: z
    .array(
      queueRow.transform(([queue, waitingTasks, waitingCpuMillis, runningCpuMillis, expectedWaitMs]) => {
        return { queue, waitingTasks, waitingCpuMillis, runningCpuMillis, expectedWaitMs };
      }),
    )
    .max(MAX_ROWS),
  customers: z
    .array(
      customerRow.transform(([customer, waitingTasks, dominantShare, fairShare]) => {
        return { customer: toId<CustomerName>(customer), waitingTasks, dominantShare, fairShare };
      }),
    )
    .max(MAX_ROWS),
});
