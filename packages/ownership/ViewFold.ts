import { applyEnd } from './applyEnd';
import { applyView } from './applyView';
import type { HallRecord } from './HallRecord';
import type { LogRead } from './LogRead';
import type { OwnershipRules } from './OwnershipRules';
import type { OwnershipState } from './OwnershipState';
import type { View } from './View';

interface LoggedView {
  readonly offset: number;
  readonly view: View;
}

interface FoldContext {
  readonly state: OwnershipState;
  readonly rules: OwnershipRules;
  readonly first: number;
  readonly now: number;
}

type RecordOf<Kind extends HallRecord['kind']> = Extract<HallRecord, { kind: Kind }>;

/** Reads the hall's stream in offset order and finds the standing view; keeps the place in the stream. */
export class ViewFold {
  private nextOffset = 0;
  private isTailRead = false;
  /** False while records were missed, so that a void proposal could not be told from the one that stands. */
  private hasBase = true;
  /** Proposals read while there is no base. */
  private waiting: LoggedView[] = [];

  readNextOffset(): number {
    return this.nextOffset;
  }

  /** True once the stream has been read to its end, with nothing missed. */
  isCurrent(): boolean {
    return this.isTailRead && this.hasBase;
  }

  /** Applies an answered read. Records that do not follow the place in the stream are passed over. */
  applyRead(state: OwnershipState, rules: OwnershipRules, read: LogRead, now: number): void {
    this.applyTrim(state, read.first, now);
    for (const { offset, record } of read.records) {
      if (offset === this.nextOffset) {
        this.nextOffset += 1;
        if (record !== undefined) {
          this.applyRecord(offset, record, { state, rules, first: read.first, now });
        }
      }
    }
    if (this.nextOffset >= read.tail) {
      this.isTailRead = true;
      this.applyTail(state, read.askedAt);
    }
  }

  private applyTrim(state: OwnershipState, first: number, now: number): void {
    if (first <= this.nextOffset) {
      return;
    }
    this.nextOffset = first;
    this.isTailRead = false;
    this.hasBase = false;
    this.waiting = [];
    state.unknownLeftOutAt = now;
  }

  private applyTail(state: OwnershipState, askedAt: number): void {
    if (this.hasBase && state.view !== undefined && askedAt > state.tail.askedAt) {
      state.tail = { viewNumber: state.view.number, askedAt };
    }
  }

  private applyRecord(offset: number, record: HallRecord, context: FoldContext): void {
    switch (record.kind) {
      case 'view':
        this.applyProposal({ offset, view: record.view }, context);
        break;
      case 'standing':
        this.applyStanding(record, context);
        break;
      case 'ended':
        applyEnd(context.state, context.rules, record.process, context.now);
        break;
    }
  }

  private applyProposal(logged: LoggedView, context: FoldContext): void {
    if (!this.hasBase) {
      this.waiting.push(logged);
      return;
    }
    this.applyNext(logged.view, context);
  }

  private applyNext(view: View, context: FoldContext): void {
    if (view.number === (context.state.view?.number ?? 0) + 1) {
      applyView(context.state, view, context.now);
    }
  }

  /** A standing view whose every later record can be read is a base; the proposals since then follow it. */
  private applyStanding(record: RecordOf<'standing'>, context: FoldContext): void {
    const isWhole = record.asOf >= context.first - 1;
    if (this.hasBase || !isWhole) {
      return;
    }
    this.hasBase = true;
    applyView(context.state, record.view, context.now);
    const later = this.waiting.filter((logged) => logged.offset > record.asOf);
    this.waiting = [];
    for (const { view } of later) {
      this.applyNext(view, context);
    }
  }
}
