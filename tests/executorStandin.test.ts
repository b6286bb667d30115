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
const CALL_TIMEOUT_MS = 700;
const CUT_MS = 2000;

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

  const startStandin = async (runChecker: RunChecker): Promise<[ExecutorStandin, string]> => {
    const [port] = await chooseFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const standin = new ExecutorStandin({ id: ID, address, runChecker, bornAtMs: 5 });
    await standin.start();
    return [standin, address];
  };

  const sendCall = async (address: string, path: string, fields: object): Promise<number | undefined> => {
    const response = await request(`http://${address}${path}`, {
      method: 'POST',
      headers: { 'x-stairline-expect-instance': ID },
      body: JSON.stringify({ 'fencing-token': 1, ...fields }),
      headersTimeout: CALL_TIMEOUT_MS,
      reset: true,
    }).catch(() => undefined);
    await response?.body.dump();
    return response?.statusCode;
  };

  it('reports starts and polls by the clock of another incarnation, and none by its own', async () => {
    const runChecker = new RunChecker(4);
    const [standin, address] = await startStandin(runChecker);
    await sendCall(address, '/run-start', { task: TASK, run: 1, spec: 'lasts', 'expires-ms': 4000 });
    await sendCall(address, '/hold', { 'expires-ms': 4000 });
    await sendCall(address, '/hold', {});
    expect(runChecker.getViolations()).toEqual([]);
    await sendCall(address, '/run-start', { task: TASK, run: 1, spec: 'lasts', 'expires-ms': 20_000 });
    await sendCall(address, '/hold', { 'expires-ms': 20_000 });
    expect(runChecker.getViolations()).toEqual([
      expect.stringContaining('i-0@5: /run-start with a lease of'),
      expect.stringContaining('i-0@5: /hold with a lease of'),
    ]);
    await standin.stop();
  });

  it('answers nothing while it is cut off, and runs on', async () => {
    const runChecker = new RunChecker(4);
    const [standin, address] = await startStandin(runChecker);
    await sendCall(address, '/run-start', { task: TASK, run: 1, spec: 'lasts', 'expires-ms': 4000 });
    const pending = sendCall(address, '/hold', { 'wait-ms': 100 });
    await waitForDelay(50);
    standin.applyCut(CUT_MS);
    expect(await pending).toBeUndefined();
    expect(await sendCall(address, '/hold', {})).toBeUndefined();
    expect(runChecker.isRunning(TASK)).toBe(true);
    await waitForDelay(CUT_MS);
    expect(await sendCall(address, '/hold', {})).toBe(200);
    await standin.stop();
  });

  it('frees its address after a loss of power, and leaves calls under way without an answer', async () => {
    const runChecker = new RunChecker(4);
    const [ended, address] = await startStandin(runChecker);
    await sendCall(address, '/run-start', { task: TASK, run: 1, spec: 'lasts', 'expires-ms': 4000 });
    const sentAt = performance.now();
    const pending = sendCall(address, '/hold', { 'wait-ms': 100 }).then((status) => {
      expect(status).toBeUndefined();
      return performance.now() - sentAt;
    });
    await waitForDelay(50);
    await ended.stopSilently(100);
    expect(runChecker.isRunning(TASK)).toBe(false);
    const next = new ExecutorStandin({ id: ID, address, runChecker, bornAtMs: 6 });
    await next.start();
    expect(await sendCall(address, '/hold', {})).toBe(200);
    expect(await pending).toBeGreaterThan(CALL_TIMEOUT_MS - 10);
    await next.stop();
  });
});
