import { request } from 'undici';
import { describe, expect, it } from 'vitest';
import { waitForDelay } from '../packages/common/waitForDelay';
import { ExecutorStandin } from '../packages/standins/platform/ExecutorStandin';
import { RunWitness } from '../packages/standins/platform/RunWitness';
import { chooseFreePorts } from '../dev/fleet/chooseFreePorts';

const ID = 'i-0';
const TASK = '0000000000000001.0.0.0';
/** Longer than a late start waits. */
const LATE_MS = 1700;

describe('the stand-in of one life of an endpoint', () => {
  it('carries out nothing once it is over, also what it had taken before', async () => {
    const [port] = await chooseFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const witness = new RunWitness(4);
    const standin = new ExecutorStandin({ id: ID, address, witness, bornAtMs: 5 });
    await standin.start();
    standin.applyFault('lateStarts');
    const order = { task: TASK, run: 1, spec: '100', 'expires-ms': 10_000, 'fencing-token': 1 };
    const answer = request(`http://${address}/run-start`, {
      method: 'POST',
      headers: { 'x-stairline-expect-instance': ID },
      body: JSON.stringify(order),
    }).catch((thrown: unknown) => thrown);
    await waitForDelay(100);
    await standin.stop();
    expect(await answer).toBeInstanceOf(Error);
    await waitForDelay(LATE_MS);
    expect(witness.readStartCount(TASK)).toBe(0);
  });
});
