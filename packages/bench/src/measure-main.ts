import {cac} from 'cac';
import {measures} from './measure/index.js';

const usageExitCode = 2;

/** Runs the named measures, or all of them, and prints one JSON object per line. Returns the exit code. */
async function runMeasures(names: readonly string[], seed: number): Promise<number> {
	const unknownNames = names.filter(name => !measures.has(name));
	if (unknownNames.length > 0) {
		process.stderr.write(`measure: unknown name ${unknownNames.join(', ')}; names are ${[...measures.keys()].join(', ')}\n`);
		return usageExitCode;
	}

	for (const name of names.length === 0 ? measures.keys() : names) {
		// eslint-disable-next-line no-await-in-loop
		for (const line of await measures.get(name)!.run(seed)) {
			process.stdout.write(`${JSON.stringify(line)}\n`);
		}
	}

	return 0;
}

const cli = cac('measure');
cli.usage('[NAME...] [--seed N]');
cli.option('--seed <number>', 'Seed of the load', {default: 1});
cli.help(sections => [
	...sections,
	{title: 'Names', body: [...measures.values()].map(({name, description}) => `  ${name}  ${description}`).join('\n')},
]);
const parsed = cli.parse(process.argv, {run: false});
if (!parsed.options.help) {
	const seed = Number(parsed.options.seed);
	if (Number.isSafeInteger(seed) && seed >= 0) {
		process.exitCode = await runMeasures(parsed.args, seed);
	} else {
		process.stderr.write('measure: --seed expects a whole number from 0 up\n');
		process.exitCode = usageExitCode;
	}
}
