import { toId } from '../../packages/common/toId';
import type { EndpointProfile } from '../../packages/dispatch/endpoints/EndpointProfile';
import type { EndpointId } from '../../packages/jobs/EndpointId';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';
import type { ServiceName } from '../../packages/jobs/ServiceName';

/** Creates the profile of an endpoint with four cores, overridden by `fields`. */
export const createProfile = (id: string, fields: Partial<EndpointProfile> = {}): EndpointProfile => ({
  id: toId<EndpointId>(id),
  incarnation: toId<EndpointIncarnation>(id),
  service: toId<ServiceName>('service-a'),
  address: `${id}:80`,
  hall: 'hall-a',
  capacity: { cpuMillis: 4000, memoryMb: 10_000, accelerators: 0 },
  labels: [],
  isDraining: false,
  minDrainMs: 0,
  ...fields,
});
