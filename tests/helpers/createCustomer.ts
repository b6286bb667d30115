import { toId } from '../../packages/common/toId';
import type { CustomerName } from '../../packages/customers/CustomerName';
import type { JobCustomer } from '../../packages/customers/JobCustomer';
import type { TaskDemand } from '../../packages/jobs/TaskDemand';

/** Creates a customer of a job. Dimensions that are left out are not limited. */
export const createCustomer = (name: string, limit: Partial<TaskDemand> = {}, weight = 0): JobCustomer => ({
  name: toId<CustomerName>(name),
  weight,
  limit: { cpuMillis: 0, memoryMb: 0, accelerators: 0, ...limit },
});
