import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import { resourceMath } from '../../jobs/resourceMath';
import { endpointIncarnations } from '../../jobs/endpointIncarnations';
import type { EndpointProfile } from './EndpointProfile';

/** Creates a profile, without address, hall or capacity, for an incarnation that has no record, but whose runs may go on. */
export const createDeregisteredProfile = (
  incarnation: EndpointIncarnation,
  service: ServiceName,
): EndpointProfile => ({
  id: endpointIncarnations.toEndpointId(incarnation),
  incarnation,
  service,
  address: '',
  hall: '',
  capacity: resourceMath.ZERO,
  labels: [],
  isDraining: false,
  minDrainMs: 0,
});
