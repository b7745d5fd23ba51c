import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'src/gen/**', 'node_modules/**'] }),
  {
    rules: {
      '@stylistic/max-len': ['error', { code: 120, ignoreUrls: true, ignoreStrings: true, ignoreTemplateLiterals: true }],
      'max-lines': ['error', { max: 400 }]
    }
  }
]
