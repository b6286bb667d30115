import { describe, expect, it } from 'vitest';
import { ClaimFold } from '../packages/entry/ClaimFold';
import type { ClaimRecord } from '../packages/entry/ClaimRecord';

const createRecord = (
  claims: readonly [string, string][],
  released: readonly string[] = [],
): ClaimRecord => ({
  kind: 'claims',
  claims: claims.map(([key, claimId]) => ({ key, claimId, process: `box#${claimId}` })),
  released,
});

describe('the fold of claims', () => {
  it('gives a key to its first claim in offset order', () => {
    const fold = new ClaimFold();
    fold.applyRecord(0, createRecord([['k', 'one']]));
    fold.applyRecord(1, createRecord([['k', 'two']]));
    expect(fold.readHolder('k')?.claimId).toBe('one');
  });

  it('frees a key when its holder gives it back, and not when a loser does', () => {
    const fold = new ClaimFold();
    fold.applyRecord(0, createRecord([['k', 'one']]));
    fold.applyRecord(1, createRecord([['k', 'two']], ['two']));
    expect(fold.readHolder('k')?.claimId).toBe('one');
    fold.applyRecord(2, createRecord([], ['one']));
    expect(fold.readHolder('k')).toBeUndefined();
    fold.applyRecord(3, createRecord([['k', 'three']]));
    expect(fold.readHolder('k')?.claimId).toBe('three');
  });

  it('is current only once the stream was read to its end', () => {
    const fold = new ClaimFold();
    fold.applyTail(0, 2);
    expect(fold.isCurrent()).toBe(false);
    fold.applyRecord(0, createRecord([]));
    fold.applyRecord(1, createRecord([]));
    fold.applyTail(0, 2);
    expect(fold.isCurrent()).toBe(true);
  });
});
