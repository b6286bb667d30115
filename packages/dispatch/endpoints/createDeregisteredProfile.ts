import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { ServiceName } from '../../jobs/ServiceName';
import { resourceMath } from '../../jobs/resourceMath';
import { endpointIncarnations } from '../../jobs/endpointIncarnations';
import type { EndpointProfile } from './EndpointProfile';

/** The profile of a life whose record is gone: it has no address and no room, and may still run what it was given. */
export const createDeregisteredProfile = (
  life: EndpointIncarnation,
  service: ServiceName,
): EndpointProfile => ({
  id: endpointIncarnations.readEndpoint(life),
  incarnation: life,
  service,
  address: '',
  hall: '',
  capacity: resourceMath.NOTHING,
  labels: [],
  isDraining: false,
  remainingMs: 0,
});
