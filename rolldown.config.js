// One file for each program of the platform: a process then loads only what it uses.
export default ['entry', 'agent'].map(role => ({
  input: { [`bulrush-platform-${role}`]: `platform/bin/bulrush-platform-${role}.ts` },
  platform: 'node',
  resolve: { extensionAlias: { '.js': ['.ts', '.js'] } },
  output: { dir: `target/${role}`, format: 'esm', entryFileNames: '[name].js', chunkFileNames: '[name].js', minify: false }
}))
