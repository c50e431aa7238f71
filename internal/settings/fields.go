package settings

import "reflect"

// fieldName returns the JSON name of a settings field.
func fieldName(f reflect.StructField) string { return f.Tag.Get("json") }

// fieldByName returns the index of the field with the given JSON name.
func fieldByName(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if fieldName(t.Field(i)) == name {
			return i, true
		}
	}
	return 0, false
}

// fieldNames returns the JSON names of a struct type's fields.
func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, fieldName(t.Field(i)))
	}
	return names
}

// typeName describes a field's type for use in a message.
func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return "a duration"
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Slice:
		return "a list"
	default:
		return "an object"
	}
}
