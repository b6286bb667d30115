import type { Clock } from '../common/Clock';
import type { Logger } from '../common/Logger';

interface BoxPresenceOptions {
  readonly clock: Clock;
  readonly logger: Logger;
  /**
   * Sends a request that a box answers at once, with a timeout in milliseconds; resolves when it has responded or the request has failed, which the
   * client has recorded by then.
   */
  readonly sendProbe: (box: string, timeoutMs: number) => Promise<void>;
}

/** What is known of a box. Times are monotonic. */
interface KnownPresence {
  /** `unknown` before the first response or failure. */
  state: 'unknown' | 'reachable' | 'lost';
  /** Time of the newest response; -Infinity without one. */
  respondedAt: number;
  /** Time of the failure by which it is lost. */
  lostAt: number;
  /** Number of probes without a response since the newest response or announcement. */
  failedProbes: number;
  nextProbeAt: number;
  isProbing: boolean;
}

/** Minimum time between the sending of the first two probes of a lost box, doubled with each further one up to the maximum. */
const MIN_PROBE_INTERVAL_MS = 250;
const MAX_PROBE_INTERVAL_MS = 1500;
/** As late as a response to an advice request may be: a leader or a box that is slow gets the responses to both as late. */
const PROBE_TIMEOUT_MS = 1200;
/** Bounds the connections that are opened at the same time to boxes that may all be lost. */
const MAX_CONCURRENT_PROBES = 8;

/**
 * Keeps which other boxes can be reached, by evidence alone: a box is lost from a request without a response until it responds to a later one. Lost boxes
 * are probed, so that no other request has to find out whether they are back.
 */
export class BoxPresence {
  private readonly boxes = new Map<string, KnownPresence>();
  private probeCount = 0;
  private lostCount = 0;

  constructor(private readonly options: BoxPresenceOptions) {}

  /** Returns whether the box has responded, and not failed to respond to a later request. */
  isReachable(box: string): boolean {
    return this.boxes.get(box)?.state === 'reachable';
  }

  /** Returns whether the box has failed to respond, and not responded to a later request. */
  isLost(box: string): boolean {
    return this.boxes.get(box)?.state === 'lost';
  }

  /** Returns the number of lost boxes. */
  countLost(): number {
    return this.lostCount;
  }

  /** Records a response of the box, whatever it says. */
  recordResponse(box: string): void {
    const now = this.options.clock.getNow();
    const known = this.getPresence(box);
    if (known.state === 'lost') {
      this.lostCount -= 1;
      this.options.logger.info('Box responds again.', {
        other: box,
        lostMs: Math.round(now - known.lostAt),
        probes: known.failedProbes,
      });
    }
    known.state = 'reachable';
    known.respondedAt = now;
    known.failedProbes = 0;
  }

  /** Records that a request that was sent to the box at a monotonic time had no response. Ignored if the box has responded since. */
  recordFailure(box: string, sentAt: number): void {
    const known = this.getPresence(box);
    if (known.respondedAt >= sentAt || known.state === 'lost') {
      return;
    }
    const now = this.options.clock.getNow();
    known.state = 'lost';
    this.lostCount += 1;
    known.lostAt = now;
    known.nextProbeAt = now;
    this.options.logger.info('Box does not respond.', {
      other: box,
      tookMs: Math.round(now - sentAt),
      silentMs: known.respondedAt === -Infinity ? undefined : Math.round(now - known.respondedAt),
    });
  }

  /** Records a new announcement of the box: a lost box is probed at once. It counts as reachable when it responds. */
  recordAnnouncement(box: string): void {
    const known = this.getPresence(box);
    known.failedProbes = 0;
    known.nextProbeAt = -Infinity;
  }

  /** Sends the probes that are due to lost ones of the boxes and, with `isProbingUnknown`, to unknown ones. Called periodically. */
  handleTick(boxes: readonly { readonly box: string }[], isProbingUnknown: boolean): void {
    if (this.lostCount === 0 && !isProbingUnknown) {
      return;
    }
    const now = this.options.clock.getNow();
    const due: { readonly box: string; readonly known: KnownPresence }[] = [];
    for (const { box } of boxes) {
      const known = this.getPresence(box);
      const isWanted = known.state === 'lost' || (isProbingUnknown && known.state === 'unknown');
      if (isWanted && !known.isProbing && now >= known.nextProbeAt) {
        due.push({ box, known });
      }
    }
    due.sort((left, right) => left.known.nextProbeAt - right.known.nextProbeAt || 0);
    for (const { box, known } of due.slice(0, MAX_CONCURRENT_PROBES - this.probeCount)) {
      void this.runProbe(box, known);
    }
  }

  private async runProbe(box: string, known: KnownPresence): Promise<void> {
    const { clock, sendProbe } = this.options;
    const sentAt = clock.getNow();
    this.probeCount += 1;
    known.isProbing = true;
    await sendProbe(box, PROBE_TIMEOUT_MS);
    this.probeCount -= 1;
    known.isProbing = false;
    if (known.state === 'lost') {
      const intervalMs = Math.min(MAX_PROBE_INTERVAL_MS, MIN_PROBE_INTERVAL_MS * 2 ** known.failedProbes);
      known.failedProbes += 1;
      known.nextProbeAt = sentAt + intervalMs;
    }
  }

  private getPresence(box: string): KnownPresence {
    const known = this.boxes.get(box);
    if (known !== undefined) {
      return known;
    }
    const created: KnownPresence = {
      state: 'unknown',
      respondedAt: -Infinity,
      lostAt: -Infinity,
      failedProbes: 0,
      nextProbeAt: -Infinity,
      isProbing: false,
    };
    this.boxes.set(box, created);
    return created;
  }
}
