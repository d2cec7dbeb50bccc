/** Fills a settings template as the platform's page on deploy files says, as far as deploy/settings.yaml needs it. */

type Fields = Readonly<Record<string, unknown>>

const LIST = /\{\{#([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs
const VALUE = /\{\{([\w.]+)(\|json)?\}\}/g

export function fillTemplate(template: string, fields: Fields): string {
  const withLists = template.replace(LIST, (_, path: string, part: string) => {
    const entries = lookUp(fields, path) as readonly unknown[]
    return entries
      .map((entry, index) => {
        const comma = index < entries.length - 1 ? ',' : ''
        return part.replaceAll('{{.}}', String(entry)).replaceAll('{{,}}', comma)
      })
      .join('')
  })
  return withLists.replace(VALUE, (_, path: string, json: string | undefined) => {
    const value = lookUp(fields, path)
    return json === undefined ? String(value) : JSON.stringify(value)
  })
}

function lookUp(fields: Fields, path: string): unknown {
  const found = path
    .split('.')
    .reduce<unknown>((value, key) => (value as Fields | undefined)?.[key], fields)
  if (found === undefined) throw new Error(`the settings template wants ${path}`)
  return found
}
