import json

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from bulrushbend.wire.json_parts import read_json, split_array, split_object

values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)
texts = st.text(alphabet='[]{},:"\\ \n1xé', max_size=12)


@given(st.lists(values | texts), st.booleans(), st.sampled_from([None, 1]))
def test_elements_are_those_of_the_array(elements, ensure_ascii, indent):
    # Guards against entries that are joined or cut at a bracket or comma in a string.
    content = json.dumps(elements, ensure_ascii=ensure_ascii, indent=indent).encode()
    assert [read_json(part) for part in split_array(content)] == elements


@given(st.dictionaries(texts, values | texts))
def test_members_are_those_of_the_object(members):
    content = json.dumps(members).encode()
    found = {key: read_json(part) for key, part in split_object(content).items()}
    assert found == members


@given(texts)
@example('["\\')
@example("[]]")
@example('{"a":1,"a":1}')
@example("{ }")
def test_other_content_raises_value_error(text):
    # Guards against an error that the reader of a list does not expect.
    for split, kind in ((split_array, list), (split_object, dict)):
        try:
            valid = isinstance(read_json(text.encode()), kind)
        except ValueError:
            valid = False
        try:
            split(text.encode())
        except ValueError:
            assert not valid


def test_white_space_is_no_element():
    # Guards against an empty list that is read as one with an invalid entry.
    assert split_array(b" [ ] ") == []
    assert split_object(b" { } ") == {}


@pytest.mark.parametrize("content", [b"", b"1", b"[", b"[1]]", b'["]', b"[1] 2"])
def test_content_that_is_not_one_array_is_refused(content):
    with pytest.raises(ValueError):
        split_array(content)
