import { z } from 'zod';
import { toId } from '../common/toId';
import type { CustomerName } from '../customers/CustomerName';

/** Far above what a leader sends. */
const MAX_ROWS = 100;
const MAX_NAME_LENGTH = 256;

const amount = z.number().nonnegative().finite();
const count = amount.int();
const name = z.string().min(1).max(MAX_NAME_LENGTH);

/** Rows go as lists without names of fields, since every box reads them each second. */
const queueRow = z.tuple([name, count, amount, amount, amount]);
const customerRow = z.tuple([name, count, amount, amount]);

/** Checks a digest as it stands in the log. */
export const digestSchema = z.object({
  epoch: count,
  sequence: count,
  madeAtMs: amount,
  capacityCpuMillis: amount,
  // Below 0 while endpoints hold more than they have come to have room for.
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
