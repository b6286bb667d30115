import type { MachineClock } from '../common/MachineClock';
import type { Logger } from '../common/Logger';
import { leaderTimings } from './leaderTimings';
import type { LeaseWitness } from './LeaseWitness';
import type { VouchResponse } from './VouchResponse';

interface WitnessCandidate {
  readonly box: string;
  readonly client: {
    readonly address: string;
    /** Asks the box to vouch for an epoch; undefined when it does not respond. */
    readonly requestVouch: (epoch: number) => Promise<VouchResponse | undefined>;
  };
}

interface LeaseWitnessesOptions {
  readonly epoch: number;
  readonly clock: MachineClock;
  readonly logger: Logger;
  /** Lists the other boxes. */
  readonly listOthers: () => readonly WitnessCandidate[];
  /** Returns whether the box has not responded to the newest request; it is asked only when no other is left. */
  readonly isLost: (box: string) => boolean;
  /** Returns true while certainly less than `limitMs` has passed since this leader's newest acknowledged write was sent. */
  readonly hasAckedWriteWithin: (limitMs: number) => boolean;
  /** Called when other witnesses are to be named in this leader's record. */
  readonly handleChange: () => void;
}

/** A process of another box, with what it last responded. Times are monotonic. */
interface KnownProcess {
  readonly witness: LeaseWitness;
  /** Time at which the newest request was sent on which it vouched; -Infinity without one. */
  vouchedFrom: number;
  /** True when it vouched in its newest response. */
  isVouching: boolean;
  /** Time of its newest response. */
  respondedAt: number;
}

/**
 * Reason why a leader may renew leases; `none` if it may not.
 * - `log`: a write that was acknowledged recently.
 * - `witness`: the word of a witness.
 * - `unwitnessed`: a write that was acknowledged longer ago, which is enough for a leader that has named no witness.
 */
type RenewalBasis = 'log' | 'witness' | 'unwitnessed' | 'none';

/** Number of witnesses that a leader names. A later leader needs the responses of all, this one the word of any. */
const WITNESS_COUNT = 2;
const REQUEST_INTERVAL_MS = 1000;
/** Interval of the requests while this leader's newest acknowledged write is older than `LATE_ACK_MS`. */
const URGENT_REQUEST_INTERVAL_MS = 250;
const LATE_ACK_MS = 1000;
/** Most boxes that are asked at a time while this leader looks for witnesses. */
const MAX_ASKED = 4;
/** Time without a response after which another process is named in its place. */
const MAX_RESPONSE_AGE_MS = 2500;

/**
 * Decides whether a leader may renew leases, and chooses its witnesses: processes of other boxes that it names in its record. Some time after its last
 * acknowledged write, it renews leases only on the word of one of these. So a later leader, which has read the record, learns from the witnesses how long
 * leases may have been renewed. A leader that has found no witness renews them for the longest time.
 */
export class LeaseWitnesses {
  /** Newest known process of each other box, by address. */
  private readonly processes = new Map<string, KnownProcess>();
  /** Time of the newest request to each address. */
  private readonly requestedAt = new Map<string, number>();
  /** Time of the newest requests. */
  private lastRoundAt = -Infinity;
  /** Witnesses of the record that was formatted last; undefined when it named none. */
  private named: readonly LeaseWitness[] | undefined;
  /** Witnesses named both in the last acknowledged record and in each record sent since; undefined when none of these records names any. */
  private usable: readonly LeaseWitness[] | undefined;
  private basis: RenewalBasis = 'log';

  constructor(private readonly options: LeaseWitnessesOptions) {}

  /** Sends the requests that are due, and asks for a new record when other witnesses are to be named. Called periodically. */
  handleTick(): void {
    const { clock, hasAckedWriteWithin, handleChange } = this.options;
    const now = clock.getNow();
    const isAckLate = !hasAckedWriteWithin(LATE_ACK_MS);
    if (now - this.lastRoundAt >= (isAckLate ? URGENT_REQUEST_INTERVAL_MS : REQUEST_INTERVAL_MS)) {
      this.lastRoundAt = now;
      for (const candidate of isAckLate ? this.listUsable() : this.listAsked()) {
        this.requestedAt.set(candidate.client.address, now);
        void this.requestVouch(candidate, now);
      }
    }
    if (!this.isNamedUpToDate()) {
      handleChange();
    }
    this.logBasis(this.findBasis());
  }

  /** Chooses the witnesses for a record that is about to be sent, and returns them; undefined when no process is available. */
  updateNamedWitnesses(): readonly LeaseWitness[] | undefined {
    this.named = this.chooseWitnesses();
    this.usable =
      this.usable === undefined || this.named === undefined
        ? (this.usable ?? this.named)
        : this.usable.filter(({ process }) => this.named!.some((other) => other.process === process));
    return this.named;
  }

  /** Handles the acknowledgement of the record that names the witnesses chosen last. From then on, only they can be asked by a later leader. */
  handleRecordWritten(): void {
    this.usable = this.named;
  }

  /** Returns true while this leader may renew leases. */
  canRenew(): boolean {
    return this.findBasis() !== 'none';
  }

  private findBasis(): RenewalBasis {
    const { hasAckedWriteWithin } = this.options;
    const { usable } = this;
    if (!hasAckedWriteWithin(leaderTimings.unconfirmedGraceMs)) {
      return 'none';
    }
    if (hasAckedWriteWithin(leaderTimings.briefGraceMs)) {
      return 'log';
    }
    if (usable === undefined) {
      return 'unwitnessed';
    }
    return usable.some((witness) => this.hasVouched(witness)) ? 'witness' : 'none';
  }

  private hasVouched({ address, process }: LeaseWitness): boolean {
    const known = this.processes.get(address);
    return (
      known?.witness.process === process &&
      this.options.clock.getMaxElapsedSince(known.vouchedFrom) < leaderTimings.vouchMs
    );
  }

  /** Returns the boxes of the witnesses on whose word leases may be renewed. No others can be named while records are not acknowledged. */
  private listUsable(): readonly WitnessCandidate[] {
    const addresses = new Set(this.usable?.map(({ address }) => address));
    return this.options.listOthers().filter(({ client }) => addresses.has(client.address));
  }

  /** Returns the boxes of the named witnesses and, while there are too few, some others: lost ones last, then those asked longest ago first. */
  private listAsked(): readonly WitnessCandidate[] {
    const addresses = new Set(this.named?.map(({ address }) => address));
    const { isLost } = this.options;
    const others = this.options.listOthers();
    const asked = others.filter(({ client }) => addresses.has(client.address));
    if (asked.length === WITNESS_COUNT) {
      return asked;
    }
    const getRequestedAt = ({ client }: WitnessCandidate): number =>
      this.requestedAt.get(client.address) ?? -1;
    const candidates = others
      .filter(({ client }) => !addresses.has(client.address))
      .sort(
        (left, right) =>
          Number(isLost(left.box)) - Number(isLost(right.box)) ||
          getRequestedAt(left) - getRequestedAt(right),
      );
    return [...asked, ...candidates].slice(0, MAX_ASKED);
  }

  /** Chooses among the processes that vouch and have responded recently, those named before first; undefined without any. */
  private chooseWitnesses(): readonly LeaseWitness[] | undefined {
    const now = this.options.clock.getNow();
    const named = new Set(this.named?.map(({ process }) => process));
    const available = [...this.processes.values()]
      .filter(({ isVouching, respondedAt }) => isVouching && now - respondedAt <= MAX_RESPONSE_AGE_MS)
      .map(({ witness }) => witness);
    const chosen = [
      ...available.filter(({ process }) => named.has(process)),
      ...available.filter(({ process }) => !named.has(process)),
    ].slice(0, WITNESS_COUNT);
    return chosen.length === 0 ? undefined : chosen;
  }

  /** Returns whether the witnesses to choose now are those named last. */
  private isNamedUpToDate(): boolean {
    const chosen = this.chooseWitnesses();
    const processes = new Set(chosen?.map(({ process }) => process));
    const { named } = this;
    return chosen?.length === named?.length && (named ?? []).every(({ process }) => processes.has(process));
  }

  private async requestVouch({ box, client }: WitnessCandidate, sentAt: number): Promise<void> {
    const response = await client.requestVouch(this.options.epoch);
    if (response?.box !== box) {
      return;
    }
    const { process, isVouched } = response;
    const known = this.processes.get(client.address);
    const previousFrom = known?.witness.process === process ? known.vouchedFrom : -Infinity;
    this.processes.set(client.address, {
      witness: { box, address: client.address, process },
      vouchedFrom: isVouched ? Math.max(previousFrom, sentAt) : previousFrom,
      isVouching: isVouched,
      respondedAt: this.options.clock.getNow(),
    });
  }

  private logBasis(basis: RenewalBasis): void {
    if (basis !== this.basis) {
      this.basis = basis;
      this.options.logger.info('Leases are renewed on another basis.', {
        basis,
        epoch: this.options.epoch,
        witnesses: this.usable?.map(({ process }) => process),
      });
    }
  }
}
