import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import { resourceMath } from '../../jobs/resourceMath';
import { endpointIncarnations } from '../../jobs/endpointIncarnations';
import type { EndpointProfile } from './EndpointProfile';

/** Creates the profile of an incarnation without a record: it has no address and no capacity, but its runs may go on. */
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
  remainingMs: 0,
});
