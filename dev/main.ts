import { runCommand } from '../packages/cli/runCommand';
import { devCommands } from './devCommands';

void runCommand(process.argv.slice(2), devCommands).then((code) => {
  process.exitCode = code;
});
