import type { EndpointLife } from '../../jobs/EndpointLife';
import type { ServiceName } from '../../jobs/ServiceName';
import { demandSums } from '../../jobs/demandSums';
import { endpointLives } from '../../jobs/endpointLives';
import type { EndpointProfile } from './EndpointProfile';

/** The profile of a life whose record is gone: it has no address and no room, and may still run what it was given. */
export const createUnlistedProfile = (life: EndpointLife, service: ServiceName): EndpointProfile => ({
  id: endpointLives.readEndpoint(life),
  life,
  service,
  address: '',
  hall: '',
  capacity: demandSums.NOTHING,
  labels: [],
  isDraining: false,
  remainingMs: 0,
});
