import { describe, expect, it } from 'vitest';
import type { BoxClient } from '../packages/boxes/BoxClient';
import type { BoxClients } from '../packages/boxes/BoxClients';
import { BoxDirectory } from '../packages/boxes/BoxDirectory';
import { waitForDelay } from '../packages/common/waitForDelay';
import type { LeaderController } from '../packages/dispatch/LeaderController';
import { LeaderHandover } from '../packages/serve/LeaderHandover';
import type { ServeSettings } from '../packages/serve/ServeSettings';

/** Longer than the retries that precede the decision, shorter than the outage of writes alone that ends leadership. */
const OUTAGE_MS = 700;
const DECIDED_MS = 1200;

describe('a leader whose writes to the log fail while another box can use it', () => {
  /** Returns whether it hands over when its own reads take a time, in milliseconds. */
  const hasHandedOver = async (readMs: number): Promise<boolean> => {
    let isHandedOver = false;
    const next = { address: 'other:1', sendHandover: () => Promise.resolve(true) };
    const controller = { getLogOutageMs: () => OUTAGE_MS, stop: () => undefined };
    const handover = new LeaderHandover({
      settings: {} as ServeSettings,
      clock: { getNow: () => performance.now(), getWallTime: () => Date.now() },
      boxes: {
        findLeaderCandidate: () => Promise.resolve(next as unknown as BoxClient),
      } as unknown as BoxClients,
      directory: new BoxDirectory(),
      getController: () => controller as unknown as LeaderController,
      getEpoch: () => 1,
      getStartedAt: () => 0,
      setSuccessor: () => undefined,
      retryPending: () => undefined,
      waitForLogRead: async (timeoutMs) => {
        await waitForDelay(Math.min(readMs, timeoutMs));
        return readMs <= timeoutMs;
      },
      handleGracefulStop: () => undefined,
      handleLeadershipLost: () => {
        isHandedOver = true;
      },
    });
    handover.handleTick();
    await waitForDelay(DECIDED_MS);
    return isHandedOver;
  };

  it('goes on while the log answers its reads, if late since this process is short of processor time', async () => {
    expect(await hasHandedOver(300)).toBe(false);
  });

  it('hands over when the log does not answer its reads', async () => {
    expect(await hasHandedOver(60_000)).toBe(true);
  });
});
