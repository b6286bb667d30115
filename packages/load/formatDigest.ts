import type { LoadDigest } from './LoadDigest';

/** Formats a digest as the JSON text of its log record, with queues and customers as tuples. */
export const formatDigest = (digest: LoadDigest): string =>
  JSON.stringify({
    ...digest,
    queues: digest.queues.map((row) => [
      row.queue,
      row.waitingTasks,
      row.waitingCpuMillis,
      row.runningCpuMillis,
      row.expectedWaitMs,
    ]),
    customers: digest.customers.map((row) => [
      row.customer,
      row.waitingTasks,
      row.dominantShare,
      row.fairShare,
    ]),
  });
