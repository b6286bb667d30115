import { toId } from '../../packages/common/toId';
import type { JobDefinition } from '../../packages/jobs/JobDefinition';
import type { JobId } from '../../packages/jobs/JobId';
import type { JobQueue } from '../../packages/jobs/JobQueue';
import type { JobStep } from '../../packages/jobs/JobStep';
import type { ServiceName } from '../../packages/jobs/ServiceName';

const ID_DIGITS = 16;

/** Creates a job whose number gives its id and its time of acceptance. */
export const createJobDefinition = (
  number: number,
  steps: readonly JobStep[],
  queue: Partial<JobQueue> = {},
): JobDefinition => ({
  id: toId<JobId>(number.toString(16).padStart(ID_DIGITS, '0')),
  queue: {
    name: 'jobs',
    service: toId<ServiceName>('service-a'),
    priority: 0,
    attempts: 3,
    stretch: 1.5,
    targetLatencyMs: 250,
    ...queue,
  },
  spec: '',
  steps,
  times: 1,
  firstRunMs: 0,
  intervalMs: 0,
  acceptedAtMs: number,
});
