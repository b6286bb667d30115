import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import type { UnconfirmedCrash } from './UnconfirmedCrash';
import { crashLimits } from './crashLimits';

/** Endpoints that were unreachable when their leases expired, with the tasks to blame if they have crashed. */
export class UnconfirmedCrashes {
  private readonly crashes = new Map<EndpointIncarnation, readonly UnconfirmedCrash[]>();

  addCrash(record: UnconfirmedCrash): void {
    const { endpoint } = record.crash;
    this.crashes.set(endpoint, [...(this.crashes.get(endpoint) ?? []), record]);
  }

  /** Removes and returns the unconfirmed crashes of an endpoint. */
  takeCrashesOf(endpoint: EndpointIncarnation): readonly UnconfirmedCrash[] {
    const crashes = this.crashes.get(endpoint) ?? [];
    this.crashes.delete(endpoint);
    return crashes;
  }

  /** Returns true while a poll of the endpoint's address may still confirm that it has crashed. */
  isCrashUnconfirmed(endpoint: EndpointIncarnation, now: number): boolean {
    return this.crashes.get(endpoint)?.some(({ since }) => now - since < crashLimits.confirmationMs) ?? false;
  }

  /** Removes and returns the crashes that can't be confirmed any more. */
  takeOutdatedCrashes(now: number): readonly UnconfirmedCrash[] {
    const outdated = [...this.crashes.keys()].filter((endpoint) => !this.isCrashUnconfirmed(endpoint, now));
    return outdated.flatMap((endpoint) => this.takeCrashesOf(endpoint));
  }
}
