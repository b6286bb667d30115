import { describe, expect, it } from 'vitest';
import type { BoxClient } from '../packages/boxes/BoxClient';
import { LeaderAnnouncer } from '../packages/serve/LeaderAnnouncer';
import type { BoxProcess } from '../packages/leadership/BoxProcess';

const LED_SINCE = 100_000;
const STABLE_AGE_MS = 3500;
const EPOCH = 7;

describe('announcements of a new leader', () => {
  const createWorld = () => {
    let now = LED_SINCE;
    const announcedTo: { box: string; atMs: number }[] = [];
    const processes: { boxProcess: BoxProcess; epoch: number }[] = [];
    const createBox = (box: string, response: object | undefined) => ({
      box,
      announcedAt: 0,
      client: {
        address: `${box}:1`,
        sendLeaderAnnouncement: () => {
          announcedTo.push({ box, atMs: now - LED_SINCE });
          return Promise.resolve(response);
        },
      } as unknown as BoxClient,
    });
    const others = [
      createBox('follower', {}),
      createBox('earlier', { box: 'earlier', process: 'earlier#2', upMs: 1000, vouchedMs: 200 }),
      createBox('moved', { box: 'other', process: 'other#1', upMs: 1000 }),
    ];
    const announcer = new LeaderAnnouncer({
      clock: { getNow: () => now, getWallTime: () => now },
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      listOthers: () => others,
      createLeaderAnnouncement: () => ({
        record: { epoch: EPOCH, box: 'new', process: 'new#1', isResigned: false },
        address: '127.0.0.1:1',
        cores: 1,
        linkMbps: 0,
      }),
      handleBoxProcess: (boxProcess, epoch) => processes.push({ boxProcess, epoch }),
      isResponseAwaited: (box) => box === 'earlier',
    });
    const runUntil = async (ms: number): Promise<void> => {
      for (; now < LED_SINCE + ms; now += 50) {
        announcer.handleTick();
        await Promise.resolve();
      }
    };
    return { announcedTo, processes, runUntil };
  };

  it('reach an earlier leader at once, so that it does not act beside the new one', async () => {
    const { announcedTo, runUntil } = createWorld();
    await runUntil(STABLE_AGE_MS - 100);
    expect(announcedTo).toEqual([{ box: 'earlier', atMs: 0 }]);
    await runUntil(STABLE_AGE_MS + 200);
    expect(announcedTo.map(({ box }) => box)).toEqual(['earlier', 'follower', 'moved']);
  });

  it('tell which process runs in a box and when it last vouched for a leader, unless another box has its address', async () => {
    const { processes, runUntil } = createWorld();
    await runUntil(STABLE_AGE_MS + 200);
    expect(processes).toEqual([
      {
        boxProcess: {
          box: 'earlier',
          address: 'earlier:1',
          process: 'earlier#2',
          startedBy: expect.closeTo(LED_SINCE - 970),
          vouchedBy: expect.closeTo(LED_SINCE - 194),
        },
        epoch: EPOCH,
      },
    ]);
  });

  it('reach an earlier leader first when all boxes have just announced themselves and some do not respond', () => {
    const announcedTo: string[] = [];
    const others = Array.from({ length: 90 }, (_none, number) => ({
      box: `box-${number}`,
      announcedAt: LED_SINCE,
      client: {
        sendLeaderAnnouncement: () => {
          announcedTo.push(`box-${number}`);
          return new Promise(() => undefined);
        },
      } as unknown as BoxClient,
    }));
    const announcer = new LeaderAnnouncer({
      clock: { getNow: () => LED_SINCE, getWallTime: () => LED_SINCE },
      logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
      listOthers: () => others,
      createLeaderAnnouncement: () => ({
        record: { epoch: EPOCH, box: 'new', process: 'new#1', isResigned: false },
        address: '127.0.0.1:1',
        cores: 1,
        linkMbps: 0,
      }),
      handleBoxProcess: () => undefined,
      isResponseAwaited: (box) => box === 'box-89',
    });
    announcer.handleTick();
    expect(announcedTo[0]).toBe('box-89');
  });
});
