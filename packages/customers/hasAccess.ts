import type { JobDefinition } from '../jobs/JobDefinition';
import type { JobCaller } from './JobCaller';

/**
 * Returns true when a caller may see a job and cancel it: the customer of the job, and anyone through the open queue that it was
 * submitted to. Jobs without a customer are open to all.
 */
export const hasAccess = (caller: JobCaller, { customer, queue }: JobDefinition): boolean =>
  customer === undefined ||
  customer.name === caller.customer ||
  (caller.isOpen && caller.queue === queue.name);
