import { beforeEach, describe, expect, it } from 'vitest';
import { toId } from '../packages/common/toId';
import type { EndpointId } from '../packages/jobs/EndpointId';
import type { EndpointIncarnation } from '../packages/jobs/EndpointIncarnation';
import { ExtendedLeases } from '../packages/leadership/ExtendedLeases';
import type { LeaderRecord } from '../packages/leadership/LeaderRecord';
import { LeaseHistory } from '../packages/leadership/LeaseHistory';

const LONGEST_LEASE_MS = 10_000;
/** The longest lease, with clock drift and margin. */
const MAX_EXTENDED_MS = 10_550;
const RETURNED = toId<EndpointIncarnation>('i-0@2');
const OTHER = toId<EndpointIncarnation>('i-1');
const RETURNED_ID = toId<EndpointId>('i-0');
const OTHER_ID = toId<EndpointId>('i-1');
const LEASES = [{ endpoint: RETURNED_ID, remainingMs: 9000 }];

const createRecord = (epoch: number, fields: Partial<LeaderRecord> = {}): LeaderRecord => ({
  epoch,
  box: `box-${epoch}`,
  process: `box-${epoch}#1`,
  isResigned: false,
  extendedLeases: [],
  ...fields,
});

const createClaim = (epoch: number, fields: Partial<LeaderRecord> = {}): LeaderRecord =>
  createRecord(epoch, { previous: { box: `box-${epoch - 1}`, process: `box-${epoch - 1}#1` }, ...fields });

describe('extended leases that leaders name in their records', () => {
  let history: LeaseHistory;
  const getEndsAt = (incarnation: EndpointIncarnation): number =>
    history.getExtendedLeases().getEndsAt(incarnation);

  beforeEach(() => {
    history = new LeaseHistory(LONGEST_LEASE_MS);
  });

  it('count from the reading of the record, for all incarnations of the endpoint alone', () => {
    history.recordLeader(createRecord(1, { extendedLeases: LEASES }), 1000);
    expect(getEndsAt(RETURNED)).toBe(10_000);
    expect(getEndsAt(toId<EndpointIncarnation>('i-0@1'))).toBe(10_000);
    expect(getEndsAt(OTHER)).toBe(-Infinity);
  });

  it('that the leader may not know are counted until its remaining time is over, and not anew', () => {
    history.recordLeader(createRecord(1, { unnamedLeasesMs: 3000 }), 1000);
    expect(getEndsAt(OTHER)).toBe(4000);
    history.recordLeader(createClaim(2, { unnamedLeasesMs: 1000 }), 3000);
    history.recordLeader(createRecord(2, { unnamedLeasesMs: 900 }), 3100);
    expect(getEndsAt(OTHER)).toBe(4000);
  });

  it('are not shortened by later records and claims that do not name them', () => {
    history.recordLeader(createRecord(1, { extendedLeases: LEASES }), 1000);
    history.recordLeader(createRecord(1), 1400);
    history.recordLeader(createClaim(2), 2000);
    expect(getEndsAt(RETURNED)).toBe(10_000);
    expect(history.getExtendedLeases().listActiveLeases(3000)).toEqual([
      { endpoint: RETURNED_ID, remainingMs: 7000 },
    ]);
    expect(history.getExtendedLeases().listActiveLeases(10_000)).toEqual([]);
  });

  it.each([
    ['a claim is the first record that is read', [createClaim(4)]],
    ['the records of a leader before the claim were not read', [createRecord(2), createClaim(4)]],
    ['the leader is of an earlier version', [createRecord(1, { extendedLeases: undefined })]],
  ])('may be those of any endpoint when %s, until a later record names all', (_name, records) => {
    records.forEach((record) => history.recordLeader(record, 1000));
    expect(getEndsAt(OTHER)).toBe(1000 + MAX_EXTENDED_MS);
    expect(history.getExtendedLeases().computeUnnamedMs(1000)).toBe(MAX_EXTENDED_MS);
    history.recordLeader(createRecord(4, { extendedLeases: LEASES }), 2000);
    expect(getEndsAt(OTHER)).toBe(-Infinity);
    expect(getEndsAt(RETURNED)).toBe(11_000);
  });

  it('may be those of any endpoint when records were missed, unless the leader had written its last', () => {
    history.recordLeader(createRecord(1), 1000);
    history.recordMissedWrites(2000);
    history.recordLeader(createClaim(2), 2000);
    expect(getEndsAt(OTHER)).toBe(2000 + MAX_EXTENDED_MS);
    const resigned = new LeaseHistory(LONGEST_LEASE_MS);
    resigned.recordLeader(createRecord(1, { isResigned: true }), 1000);
    resigned.recordMissedWrites(2000);
    resigned.recordLeader(createClaim(2), 2000);
    expect(resigned.getExtendedLeases().getEndsAt(OTHER)).toBe(-Infinity);
  });
});

describe('an extended lease that the leader finds', () => {
  it('is pending until a record that names it is durable', () => {
    const leases = new ExtendedLeases();
    leases.recordFormatted();
    leases.recordPendingLease(RETURNED_ID, 11_000);
    expect(leases.handleRecordWritten()).toBe(false);
    expect(leases.isPending(RETURNED)).toBe(true);
    leases.recordFormatted();
    leases.recordPendingLease(OTHER_ID, 12_000);
    expect(leases.handleRecordWritten()).toBe(true);
    expect(leases.isPending(RETURNED)).toBe(false);
    expect(leases.isPending(OTHER)).toBe(true);
  });
});
