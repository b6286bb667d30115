import { describe, expect, it } from 'vitest';
import type { BoxId } from '../packages/common/BoxId';
import type { ProcessId } from '../packages/common/ProcessId';
import { toId } from '../packages/common/toId';
import type { UnitId } from '../packages/common/UnitId';
import type { OwnershipRules } from '../packages/ownership/OwnershipRules';
import { standardRules } from '../packages/ownership/standardRules';
import { toRanking } from '../packages/ownership/toRanking';
import { HallBench } from './helpers/HallBench';

/** A unit that `first` owns while it is a member, and `second` before `third`. */
const chooseUnit = (order: readonly string[]): UnitId => {
  for (let number = 0; ; number += 1) {
    const unit = toId<UnitId>(`worker/w${number}`);
    const ranking = toRanking(
      unit,
      order.map((name) => toId<ProcessId>(name)),
    );
    if (ranking.every((process, index) => process === order[index])) {
      return unit;
    }
  }
};

const createHall = (order: readonly string[], rules: Partial<OwnershipRules> = {}): HallBench =>
  new HallBench(rules, standardRules, chooseUnit(order));

/** `x` is left out by `n`, whose proposal landed without `n` hearing of it; then `x` asks `n` for a promise. */
const startPromiseDespiteProposal = (rules: Partial<OwnershipRules>): string[] => {
  const hall = createHall(['x#1', 'j#1', 'n#1'], rules);
  hall.startHall(['x#1', 'n#1']);
  hall.now += 1400;
  hall.appendProposal('n#1');
  hall.startProcess('j#1');
  hall.handleRead('j#1');
  hall.appendProposal('j#1');
  hall.handleRead('j#1');
  hall.now += 950;
  hall.handleTalk('x#1', 'n#1');
  hall.handleTalk('j#1', 'n#1');
  for (let step = 0; step < 9; step += 1) {
    hall.now += 100;
    hall.handleTalk('j#1', 'n#1');
    hall.readRight('j#1');
    hall.handleReport('j#1');
    const holders = ['x#1', 'j#1'].filter((name) => hall.readRight(name) === 'granted');
    if (holders.length === 2) {
      return holders;
    }
  }
  return [];
};

/** `m` leaves `x` out and dies; `x` hears of neither, but proves the death when the promise has long lapsed. */
const startLateWaiver = (rules: Partial<OwnershipRules>): string[] => {
  const hall = createHall(['x#1', 'j#1', 'm#1'], rules);
  hall.startHall(['x#1', 'm#1']);
  hall.now += 1400;
  hall.appendProposal('m#1');
  hall.startProcess('j#1');
  hall.handleRead('j#1');
  hall.readProcess('j#1').recordEnd(toId<ProcessId>('m#1'), hall.now);
  hall.appendProposal('j#1');
  hall.handleRead('j#1');
  hall.readProcess('x#1').recordEnd(toId<ProcessId>('m#1'), hall.now);
  for (let step = 0; step < 20; step += 1) {
    hall.now += 100;
    hall.handleRead('j#1');
    hall.readRight('j#1');
    hall.handleReport('j#1');
  }
  return ['x#1', 'j#1'].filter((name) => hall.readRight(name) === 'granted');
};

describe('ownership: wordings of the rules that failed', () => {
  it('gives no promise while an own proposal may still land', () => {
    expect(startPromiseDespiteProposal({ isPromiseGrantable: (state) => !state.isStopped })).toEqual([
      'x#1',
      'j#1',
    ]);
    expect(startPromiseDespiteProposal({})).toEqual([]);
  });

  it("needs a dead member's promise unless its death was proved while the promise stood", () => {
    expect(startLateWaiver({ isWaivable: () => true })).toEqual(['x#1', 'j#1']);
    expect(startLateWaiver({})).toEqual(['j#1']);
  });
});

describe('ownership: what goes on through failures', () => {
  it('keeps the right through a silent log while all members promise', () => {
    const hall = createHall(['a#1', 'b#1']);
    const owner = hall.startHall(['a#1', 'b#1']);
    for (let round = 0; round < 50; round += 1) {
      hall.now += 300;
      hall.handleTalk('a#1', 'b#1');
      hall.handleTalk('b#1', 'a#1');
      expect(hall.readRight(owner)).toBe('granted');
    }
  });

  it('loses the right when neither the log nor a member answers', () => {
    const hall = createHall(['a#1', 'b#1']);
    const owner = hall.startHall(['a#1', 'b#1']);
    hall.now += 1001;
    expect(hall.readRight(owner)).toBe('noEvidence');
  });

  it('keeps the right through a silent log when the other member is proved dead in time, and follows it', () => {
    const hall = createHall(['a#1', 'b#1']);
    hall.startHall(['a#1', 'b#1']);
    hall.now += 300;
    hall.readProcess('b#1').recordEnd(toId<ProcessId>('a#1'), hall.now);
    hall.now += 5000;
    expect(hall.readRight('b#1')).toBe('unsettled');
    hall.handleReport('b#1');
    expect(hall.readRight('b#1')).toBe('granted');
  });

  it('hands a worker over at once in a planned stop, with what still runs there', () => {
    const hall = createHall(['a#1', 'b#1']);
    hall.startHall(['a#1', 'b#1']);
    const need = { cpus: 1, memoryMb: 1, accelerators: 0, slots: 1 };
    const holder = toId<ProcessId>('a#1');
    hall.holdings.set('a#1', [{ task: 'a#1/1', holder, need, endsWithinMs: 500, isRenewable: false }]);
    hall.readProcess('a#1').stopPlacing();
    hall.handleTalk('b#1', 'a#1');
    hall.handleTalk('b#1', 'a#1');
    expect(hall.readRight('b#1')).toBe('granted');
    expect(hall.readProcess('b#1').readForeign(hall.unit).slots).toBe(1);
    hall.holdings.set('a#1', []);
    hall.now += 100;
    hall.handleTalk('b#1', 'a#1');
    expect(hall.readProcess('b#1').readForeign(hall.unit).slots).toBe(0);
  });

  it('takes no release from a stopping member that owned the unit only before the one that died', () => {
    const hall = createHall(['dead#1', 'stops#1', 'heir#1']);
    hall.startHall(['stops#1', 'heir#1']);
    hall.startProcess('dead#1');
    const all = ['stops#1', 'heir#1', 'dead#1'];
    hall.handleRead('dead#1');
    hall.appendProposal('dead#1');
    for (let round = 0; round < 10; round += 1) {
      hall.now += 200;
      hall.handleRound(all);
    }
    expect(hall.readRight('dead#1')).toBe('granted');
    hall.readProcess('stops#1').stopPlacing();
    hall.readProcess('heir#1').recordEnd(toId<ProcessId>('dead#1'), hall.now);
    hall.handleTalk('heir#1', 'stops#1');
    hall.handleTalk('heir#1', 'stops#1');
    expect(hall.readRight('heir#1')).toBe('unsettled');
  });

  it('lets a joiner take its part only after the owner has said what it holds', () => {
    const hall = createHall(['b#1', 'a#1']);
    hall.startHall(['a#1']);
    expect(hall.readRight('a#1')).toBe('granted');
    hall.startProcess('b#1');
    hall.handleRead('b#1');
    hall.appendProposal('b#1');
    hall.handleRead('b#1');
    hall.now += 5000;
    hall.handleRead('b#1');
    expect(hall.readRight('b#1')).toBe('waitingForOthers');
    hall.handleTalk('b#1', 'a#1');
    hall.handleTalk('b#1', 'a#1');
    expect(hall.readRight('a#1')).toBe('notOwner');
    expect(hall.readRight('b#1')).toBe('granted');
  });

  it('passes over a void proposal that the log still shows when the one that stood is forgotten', () => {
    const hall = createHall(['a#1', 'b#1']);
    hall.startHall(['a#1', 'b#1']);
    const view = hall.readProcess('a#1').readView();
    if (view === undefined) {
      throw new Error('no view');
    }
    const number = view.number + 1;
    hall.log.push({
      kind: 'view',
      view: { number, id: 'won', members: [...view.members] },
      proposer: toId('a#1'),
    });
    hall.first = hall.log.length;
    hall.log.push({ kind: 'view', view: { number, id: 'void', members: [] }, proposer: toId('b#1') });
    const fresh = hall.startProcess('c#1');
    hall.handleRead('c#1');
    expect(fresh.readView()).toBeUndefined();
    expect(fresh.createProposal(hall.now)).toBeUndefined();
    hall.log.push({
      kind: 'standing',
      view: { number, id: 'won', members: [...view.members] },
      asOf: hall.log.length - 1,
    });
    hall.handleRead('c#1');
    expect(fresh.readView()?.id).toBe('won');
  });

  it('takes no process as ended by a refusal that was asked for before it was known', () => {
    const hall = createHall(['x#1', 'j#1']);
    hall.startHall(['x#1', 'j#1']);
    const asking = hall.readProcess('x#1');
    const box = toId<BoxId>('j');
    const known = asking.readKnown(box);
    // The connection is refused now; the answer is handled when the next start of the box has joined.
    hall.startProcess('j#2');
    hall.handleRead('j#2');
    hall.appendProposal('j#2');
    hall.handleRead('x#1');
    expect(asking.readKnown(box)).toContain('j#2');
    expect(asking.recordAlive(box, undefined, hall.now, known)).toEqual(['j#1']);
    expect(asking.isEnded(toId<ProcessId>('j#2'))).toBe(false);
  });

  it('takes no evidence from a question, whose age nobody knows', () => {
    const hall = createHall(['a#1', 'b#1']);
    hall.startHall(['a#1', 'b#1']);
    hall.now += 900;
    hall.handleRead('b#1');
    const question = hall.readProcess('b#1').createMessage(hall.now, toId<ProcessId>('a#1'));
    hall.now += 200;
    hall.readProcess('a#1').handleQuestion(question, hall.now);
    expect(hall.readRight('a#1')).toBe('noEvidence');
  });
});
