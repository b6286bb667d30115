import { commands } from '../packages/cli/commands';
import { runCommand } from '../packages/cli/runCommand';

void runCommand(process.argv.slice(2), commands).then((code) => {
  process.exitCode = code;
});
