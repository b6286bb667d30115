import { request } from 'undici';
import { describe, expect, it } from 'vitest';
import { waitForDelay } from '../packages/common/waitForDelay';
import { ExecutorStandin } from '../packages/standins/platform/ExecutorStandin';
import { RunChecker } from '../packages/standins/platform/RunChecker';
import { chooseFreePorts } from '../dev/fleet/chooseFreePorts';

const ID = 'i-0';
const TASK = '0000000000000001.0.0.0';
/** Longer than the delay of the `lateStarts` fault. */
const LATE_START_WAIT_MS = 1700;

describe('stand-in of one incarnation of an endpoint', () => {
  it('carries out no start command after its stop, even one received before', async () => {
    const [port] = await chooseFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const runChecker = new RunChecker(4);
    const standin = new ExecutorStandin({ id: ID, address, runChecker, bornAtMs: 5 });
    await standin.start();
    standin.setFault('lateStarts');
    const command = { task: TASK, run: 1, spec: '100', 'expires-ms': 10_000, 'fencing-token': 1 };
    const response = request(`http://${address}/run-start`, {
      method: 'POST',
      headers: { 'x-stairline-expect-instance': ID },
      body: JSON.stringify(command),
    }).catch((thrown: unknown) => thrown);
    await waitForDelay(100);
    await standin.stop();
    expect(await response).toBeInstanceOf(Error);
    await waitForDelay(LATE_START_WAIT_MS);
    expect(runChecker.countStarts(TASK)).toBe(0);
  });
});
