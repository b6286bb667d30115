import type { EndpointSpeeds } from '../speeds/EndpointSpeeds';
import type { RunTimes } from '../speeds/RunTimes';
import type { KindSpeeds } from './KindSpeeds';
import type { CapacityView } from './CapacityView';

/** What the ways of counting speeds look at. */
export interface SpeedSources {
  readonly kinds: KindSpeeds;
  readonly speeds: EndpointSpeeds;
  readonly times: RunTimes;
  readonly room: CapacityView;
}
