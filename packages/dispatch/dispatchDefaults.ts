import type { HallChoice } from './placing/HallChoice';
import type { StopChoice } from './stops/StopChoice';
import type { SpeedChoice } from './placing/SpeedChoice';
import type { TurnChoice } from './advice/TurnChoice';
import type { PlacementOrder } from './waiting/PlacementOrder';

interface DispatchDefaults {
  readonly placementOrder: PlacementOrder;
  readonly speedChoice: SpeedChoice;
  readonly hallChoice: HallChoice;
  readonly stopChoice: StopChoice;
  readonly turnChoice: TurnChoice;
}

/** The ways of deciding that hold unless others are chosen; docs/design/shifted-work.md has the figures for them. */
export const dispatchDefaults: DispatchDefaults = {
  placementOrder: 'shares',
  speedChoice: 'endpoints',
  hallChoice: 'together',
  stopChoice: 'ranked',
  turnChoice: 'asked',
};
