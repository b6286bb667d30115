import type { BoxId } from '../common/BoxId';
import type { ProcessId } from '../common/ProcessId';
import type { UnitId } from '../common/UnitId';
import { demandMath } from '../scheduler/demandMath';
import type { Demand } from '../table/Demand';
import { applyEnd } from './applyEnd';
import { applyListing } from './applyListing';
import { applyMessage } from './applyMessage';
import { applyReleases } from './applyReleases';
import { applyReport } from './applyReport';
import { applyTime } from './applyTime';
import { applyUnits } from './applyUnits';
import { createProposal } from './createProposal';
import { createReleases } from './createReleases';
import type { HeartbeatMessage } from './HeartbeatMessage';
import type { LogRead } from './LogRead';
import { standardRules } from './standardRules';
import type { OwnershipOptions } from './OwnershipOptions';
import type { OwnershipRules } from './OwnershipRules';
import type { OwnershipState } from './OwnershipState';
import { readPeer } from './readPeer';
import { toBox } from './toBox';
import type { UnitRight } from './UnitRight';
import type { View } from './View';
import { ViewFold } from './ViewFold';
import type { WorkerReport } from './WorkerReport';

/**
 * Decides which units of its hall one process may place on. Pure but for its own state: times come in as arguments,
 * messages go out as return values. All times are local monotonic milliseconds.
 */
export class Ownership {
  private readonly rules: OwnershipRules;
  private readonly fold = new ViewFold();
  private readonly state: OwnershipState;

  constructor(private readonly options: OwnershipOptions) {
    this.rules = options.rules ?? standardRules;
    this.state = {
      self: options.self,
      view: undefined,
      memberSince: 0,
      tail: { viewNumber: 0, askedAt: -Infinity },
      pending: undefined,
      leftOut: new Map(),
      unknownLeftOutAt: -Infinity,
      peers: new Map(),
      known: new Set(),
      units: new Map(),
      released: new Map(),
      grantCount: 0,
      isStopped: false,
      sequence: 0,
    };
  }

  /** The newest view known. */
  readView(): View | undefined {
    return this.state.view;
  }

  /** The offset of the hall's stream to read next. */
  readNextOffset(): number {
    return this.fold.readNextOffset();
  }

  /** Makes units known, so that their owner is worked out. */
  applyKnownUnits(units: readonly UnitId[]): void {
    const isNew = units.some((unit) => !this.state.known.has(unit));
    if (!isNew) {
      return;
    }
    for (const unit of units) {
      this.state.known.add(unit);
    }
    applyUnits(this.state, { isContinuous: true });
  }

  /** Applies an answered read of the hall's stream. */
  applyLogRead(read: LogRead, now: number): void {
    this.fold.applyRead(this.state, this.rules, read, now);
    this.applyTime(now);
  }

  /** Creates a message for a peer, with releases of the units that it wanted. */
  createMessage(now: number, to: ProcessId | undefined, wanted: readonly UnitId[] = []): HeartbeatMessage {
    const { state } = this;
    state.sequence += 1;
    const isTailOwn = state.tail.viewNumber === state.view?.number && state.tail.askedAt !== -Infinity;
    return {
      from: state.self,
      sequence: state.sequence,
      viewNumber: state.view?.number ?? 0,
      view: this.isViewKnownTo(to) ? undefined : state.view,
      isStopped: state.isStopped,
      tail: isTailOwn ? { viewNumber: state.tail.viewNumber, ageMs: now - state.tail.askedAt } : undefined,
      ended: (state.view?.members ?? []).filter((member) => state.peers.get(member)?.endedAt !== undefined),
      wanted: this.readUnsettled(),
      releases: createReleases(state, {
        wanted: new Set(wanted),
        readOwnHoldings: this.options.readOwnHoldings,
        now,
      }),
      isPromise: false,
    };
  }

  /** Handles a peer's question and returns the answer, with a promise where one may be given. */
  handleQuestion(message: HeartbeatMessage, now: number): HeartbeatMessage {
    // A question was written at an unknown time, so that the evidence in it has no known age.
    this.applyPeerMessage(message, -Infinity, now);
    const isPromise = this.rules.isPromiseGrantable(this.state, message.from);
    if (isPromise) {
      const { leaseMs, marginMs } = this.options.timings;
      readPeer(this.state, message.from).promiseGivenUntil = now + leaseMs + marginMs;
    }
    return { ...this.createMessage(now, message.from, message.wanted), isPromise };
  }

  /** Handles the answer to a question that was asked at `askedAt`. */
  handleAnswer(message: HeartbeatMessage, askedAt: number, now: number): void {
    this.applyPeerMessage(message, askedAt, now);
    if (message.isPromise) {
      const peer = readPeer(this.state, message.from);
      peer.promiseHeldUntil = Math.max(peer.promiseHeldUntil, askedAt + this.options.timings.leaseMs);
    }
  }

  /** Records the proof that a process has ended: its port refuses, or another incarnation answers there. */
  recordEnd(process: ProcessId, now: number): void {
    applyEnd(this.state, this.rules, process, now);
    this.applyTime(now);
  }

  /** The processes of a box that this one knows of and that are not proved to have ended. */
  readKnown(box: BoxId): readonly ProcessId[] {
    const known = [...(this.state.view?.members ?? []), ...this.state.leftOut.keys()];
    return known.filter((other) => toBox(other) === box && !this.isEnded(other));
  }

  /**
   * Records that on a box no process but `alive` (none when undefined) was alive: its port refused, or that one answered.
   * `known` are the processes known when the question was asked: one that started since is none of those that the answer is about.
   * Returns the processes whose end this proves.
   */
  recordAlive(
    box: BoxId,
    alive: ProcessId | undefined,
    now: number,
    known = this.readKnown(box),
  ): readonly ProcessId[] {
    const ended = known.filter((other) => other !== alive && !this.isEnded(other));
    for (const process of ended) {
      this.recordEnd(process, now);
    }
    return ended;
  }

  /** True when the process is proved to have ended. */
  isEnded(process: ProcessId): boolean {
    return this.state.peers.get(process)?.endedAt !== undefined;
  }

  /** Applies a worker's report that was asked for at `askedAt`. */
  applyReport(id: UnitId, report: WorkerReport, askedAt: number, now: number): void {
    const unit = this.state.units.get(id);
    if (unit !== undefined) {
      const { marginMs } = this.options.timings;
      applyReport(unit, report, { self: this.state.self, askedAt, now, marginMs });
    }
  }

  /**
   * Applies an endpoint's list of what runs there, taken after it had shut out all tokens below that of a grant. It needs no margin for requests
   * under way: those of earlier owners are refused.
   */
  applyFence(id: UnitId, grant: number, tasks: WorkerReport['tasks'], now: number): void {
    const unit = this.state.units.get(id);
    if (unit?.grant === grant && unit.clearAt !== undefined) {
      unit.listedAt = now;
      applyListing(unit, tasks, { self: this.state.self, now, marginMs: this.options.timings.marginMs });
    }
  }

  /** Lets time pass: call it often. */
  applyTime(now: number): void {
    applyTime(this.state, { rules: this.rules, timings: this.options.timings, now });
  }

  /** The view to append to the log now, or undefined. The same proposal comes back until it is decided. */
  createProposal(now: number): View | undefined {
    const { state } = this;
    if (!this.fold.isCurrent()) {
      return undefined;
    }
    if (state.pending === undefined) {
      state.pending = createProposal(state, { rules: this.rules, timings: this.options.timings, now });
    }
    return state.pending;
  }

  /** True while the process may rely on its view. */
  hasEvidence(now: number): boolean {
    return this.rules.hasEvidence(this.state, now, this.options.timings);
  }

  /** True when the view gives the unit to this process. */
  isOwner(unit: UnitId): boolean {
    return this.state.units.has(unit);
  }

  /** Whether this process may place on the unit at `now`. Ask directly before the bytes are written. */
  readRight(id: UnitId, now: number): UnitRight {
    const unit = this.state.units.get(id);
    if (unit === undefined) {
      return 'notOwner';
    }
    if (!this.hasEvidence(now)) {
      return 'noEvidence';
    }
    if (unit.clearAt === undefined) {
      return 'waitingForOthers';
    }
    return unit.isSettled ? 'granted' : 'unsettled';
  }

  /** Number of the present spell of ownership of a unit; undefined when it is not ours. */
  readGrant(id: UnitId): number | undefined {
    return this.state.units.get(id)?.grant;
  }

  /** Token for orders on one of our units; undefined when it is not ours. */
  readToken(id: UnitId): number | undefined {
    return this.state.units.get(id)?.token;
  }

  /** What others may still run on one of our units. */
  readForeign(id: UnitId): Demand {
    let sum = demandMath.NOTHING;
    for (const task of this.state.units.get(id)?.foreign.values() ?? []) {
      sum = demandMath.toSum(sum, task.need);
    }
    return sum;
  }

  /** How many tasks of others may still run on one of our units. */
  readForeignCount(id: UnitId): number {
    return this.state.units.get(id)?.foreign.size ?? 0;
  }

  /** Our units whose books are not complete yet. */
  readUnsettled(): readonly UnitId[] {
    return [...this.state.units].filter(([, unit]) => !unit.isSettled).map(([id]) => id);
  }

  /** Our units where others may still run something. */
  readShared(): readonly UnitId[] {
    return [...this.state.units].filter(([, unit]) => unit.foreign.size > 0).map(([id]) => id);
  }

  /** Gives up every right for good. From now on the process only says what it still has running. */
  stopPlacing(): void {
    this.state.isStopped = true;
    applyUnits(this.state, { isContinuous: true });
  }

  private isViewKnownTo(process: ProcessId | undefined): boolean {
    const known = process === undefined ? 0 : (this.state.peers.get(process)?.viewNumber ?? 0);
    return this.state.view !== undefined && known >= this.state.view.number;
  }

  private applyPeerMessage(message: HeartbeatMessage, sentAfter: number, now: number): void {
    const isNewer = message.sequence > readPeer(this.state, message.from).sequence;
    applyMessage(this.state, message, { rules: this.rules, sentAfter, now });
    this.applyTime(now);
    const viewNumber = this.state.view?.number ?? 0;
    if (isNewer && message.viewNumber >= viewNumber) {
      applyReleases(this.state, message.releases, { from: message.from, now, timings: this.options.timings });
    }
  }
}
