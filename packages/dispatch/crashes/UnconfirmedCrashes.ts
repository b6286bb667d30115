import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { endpointIncarnations } from '../../jobs/endpointIncarnations';
import type { UnconfirmedCrash } from './UnconfirmedCrash';

/** Unconfirmed crashes of endpoints that may respond again, by incarnation. */
export class UnconfirmedCrashes {
  private readonly crashes = new Map<EndpointIncarnation, readonly UnconfirmedCrash[]>();

  addCrash(record: UnconfirmedCrash): void {
    const { endpoint } = record.crash;
    this.crashes.set(endpoint, [...(this.crashes.get(endpoint) ?? []), record]);
  }

  /** Removes and returns the unconfirmed crashes of an incarnation; none when there are none. */
  takeCrashesOf(endpoint: EndpointIncarnation): readonly UnconfirmedCrash[] {
    const crashes = this.crashes.get(endpoint) ?? [];
    this.crashes.delete(endpoint);
    return crashes;
  }

  /** Lists the other incarnations of an incarnation's endpoint whose unconfirmed crashes are recent enough to be confirmed. */
  listOtherIncarnations(incarnation: EndpointIncarnation, now: number): readonly EndpointIncarnation[] {
    const id = endpointIncarnations.toEndpointId(incarnation);
    return [...this.crashes.keys()].filter(
      (other) =>
        other !== incarnation &&
        endpointIncarnations.toEndpointId(other) === id &&
        this.isCrashUnconfirmed(other, now),
    );
  }

  /** Returns true while the incarnation has an unconfirmed crash that is recent enough for a poll of its address to confirm it. */
  isCrashUnconfirmed(endpoint: EndpointIncarnation, now: number): boolean {
    return this.crashes.get(endpoint)?.some(({ confirmableUntil }) => now < confirmableUntil) ?? false;
  }

  /** Removes the crashes of incarnations whose time for confirmation is over, except those that `isNeeded` keeps for a late response to refute. */
  removeOutdatedCrashes(now: number, isNeeded: (crash: UnconfirmedCrash) => boolean): void {
    for (const [endpoint, crashes] of this.crashes) {
      if (!this.isCrashUnconfirmed(endpoint, now) && !crashes.some(isNeeded)) {
        this.crashes.delete(endpoint);
      }
    }
  }
}
