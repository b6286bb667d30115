/**
 * Finds a stretch as in the rule LOST: for `minMs` on end an accepted job had nothing running although a task's turn had come, its service had under
 * half of its capacity in use, and there was capacity for the task twice over on one server. Jobs here have one step. Returns undefined without one.
 */
export const findIdleStretch = ({ events, job, demandOf, totalCpu, serverCpu, untilMs, minMs = 3000 }) => {
  const cpuOf = (task) => demandOf(task.split('.')[0]).cpu;
  const used = new Map();
  const running = new Set();
  const done = new Set();
  let total = 0;
  let idleFrom;
  let longest;
  const isIdle = (atMs) => {
    const isOpen = job.acceptedAtMs <= atMs && done.size < job.count && running.size === 0;
    const hasRoom = [...used.values()].some((cpu) => serverCpu - cpu >= 2 * job.cpu) || used.size === 0;
    return isOpen && hasRoom && total < totalCpu / 2;
  };
  const update = (atMs) => {
    if (!isIdle(atMs)) {
      idleFrom = undefined;
      return;
    }
    idleFrom ??= Math.max(atMs, job.acceptedAtMs);
  };
  const close = (atMs) => {
    if (idleFrom !== undefined && atMs - idleFrom > (longest?.ms ?? 0)) {
      longest = { fromMs: idleFrom, ms: atMs - idleFrom };
    }
  };
  const marks = [...events, { atMs: job.acceptedAtMs, kind: 'accepted' }]
    .filter(({ kind, atMs }) => ['start', 'end', 'accepted'].includes(kind) && atMs <= untilMs)
    .sort((left, right) => left.atMs - right.atMs);
  for (const { atMs, kind, task, server, how } of marks) {
    close(atMs);
    if (kind === 'start' || kind === 'end') {
      const sign = kind === 'start' ? 1 : -1;
      total += sign * cpuOf(task);
      used.set(server, (used.get(server) ?? 0) + sign * cpuOf(task));
      if (task.startsWith(job.id)) {
        running[kind === 'start' ? 'add' : 'delete'](task);
        if (how === 'done') done.add(task);
      }
    }
    update(atMs);
  }
  close(untilMs);
  return longest !== undefined && longest.ms >= minMs ? longest : undefined;
};
